"""YAML files at the border: validated models in, data classes out."""
