"""Layer 1: settings files in YAML, validated completely before anything starts.

The fields of the models are the keys of the files and must not be renamed. The models must not be renamed either:
pydantic's error messages contain their names, and operators' notes quote these messages.
"""
