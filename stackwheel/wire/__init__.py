"""What is spoken: typed messages, their codec, HTTP, datagrams and the connections' actors."""
