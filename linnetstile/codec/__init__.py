"""Layer 1: conversion between bytes and typed values, without I/O.

Parsers of bytes that come from a peer are incremental, and the memory that they use is bounded.
"""
