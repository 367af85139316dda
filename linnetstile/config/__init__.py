"""Floor 1: settings files in YAML, validated completely before anything starts.

Names of models' fields are keys of the files and stay as they are. So do the names of the models: the messages of
pydantic quote them, and operators' notes quote those.
"""
