"""Pure decision logic of a control instance, without I/O."""
