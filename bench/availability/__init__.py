"""Search for service tasks that do not run although there is capacity for them."""
