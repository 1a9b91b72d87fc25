"""The fleet of hosts: members, datagrams between them and what they count."""
