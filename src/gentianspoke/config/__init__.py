"""Reading of YAML files into validated models and data classes."""
