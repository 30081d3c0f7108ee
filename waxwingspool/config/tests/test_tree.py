"""Tests of the splitting and assembly of a configuration as a tree of blobs."""

import asyncio
import pathlib
import unittest

from waxwingspool import exceptions
from waxwingspool.config import check, tree

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "kwabena.json"


class TreeTest(unittest.TestCase):
    def setUp(self):
        text = EXAMPLE.read_text()
        self.before = check.check(text).ok
        changed = text.replace('"deadline_ms": 2000', '"deadline_ms": 1500', 1)
        self.after = check.check(changed).ok

    def fetch(self, built, known=tree.EMPTY):
        """Assemble a configuration from its blobs."""

        async def source(hashes):
            missing = [h for h in hashes if h not in built.blobs]
            if missing:
                raise exceptions.BlobMissing(missing[0])
            return {h: built.blobs[h] for h in hashes}

        return asyncio.run(tree.fetch(built.root, source, known))

    def test_assembled_configuration_equals_the_original(self):
        configuration, built = self.fetch(tree.build(self.before))
        names = [s.name for s in configuration.services]
        self.assertEqual(sorted(s.name for s in self.before.services), names)
        self.assertEqual(tree.build(self.before).root, tree.build(configuration).root)
        self.assertEqual(built.root, tree.build(configuration).root)

    def test_change_to_one_service_changes_its_blob_a_bucket_and_the_root(self):
        new = set(tree.build(self.after).blobs) - set(tree.build(self.before).blobs)
        self.assertEqual(3, len(new))

    def test_unchanged_services_are_reused(self):
        configuration, before = self.fetch(tree.build(self.before))
        changed, _ = self.fetch(tree.build(self.after), before)
        same = [a is b for a, b in zip(configuration.services, changed.services, strict=True)]
        self.assertEqual([True, True, False], same)

    def test_missing_blob_raises_an_error(self):
        built = tree.build(self.before)
        del built.blobs[next(iter(built.services))]
        with self.assertRaises(exceptions.BlobMissing):
            self.fetch(built)
