"""Admission control, fair sharing of slots, and server selection.

A slot is the capacity of a backend server to run one request at a time. The
slots of a service are divided among the balancers of its home set. The own
slots of a balancer are those of its share; foreign slots belong to the share
of another member. Kinds of work are served by precedence, and the floor of a
kind is the part of the slots that kinds of higher precedence leave to it.
"""
