"""Tests of the doc string examples and public names of every module."""

import doctest
import importlib
import pkgutil
import unittest

import standins
import waxwingspool


def modules():
    """Yield every module except tests and ``__main__`` modules."""
    for package in (waxwingspool, standins):
        for found in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if ".tests" not in found.name and not found.name.endswith("__main__"):
                yield importlib.import_module(found.name)


class ModuleTest(unittest.TestCase):
    def test_doc_string_examples_pass(self):
        for module in modules():
            with self.subTest(module=module.__name__):
                self.assertEqual(0, doctest.testmod(module).failed)

    def test_public_names_exist_and_have_doc_strings(self):
        for module in modules():
            for name in getattr(module, "__all__", ()):
                with self.subTest(module=module.__name__, name=name):
                    self.assertTrue(hasattr(module, name))
                    item = getattr(module, name)
                    if callable(item) and getattr(item, "__module__", "") == module.__name__:
                        self.assertTrue(item.__doc__)
