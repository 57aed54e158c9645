"""Programs by operators for routing and admission."""
