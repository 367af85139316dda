"""Floor 1: conversion of bytes to values and back. No I/O; incremental where bytes come from a peer, and bounded."""
