"""Floor 3: the running relay. It tells the decision module what happened and carries out what that decides."""
