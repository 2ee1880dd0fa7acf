"""Lists of customers and plans, and numbered versions of these lists."""
