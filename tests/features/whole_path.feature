Feature: End to end with real processes
  Callers send each datagram to a random balancer of four. Feeds, requests
  and uploads run while balancers are stopped, killed and paused.

  Scenario: A planned stop interrupts no request and no feed
    Given a deployment with callers that run for 4 s
    When balancer 1 gets SIGTERM after 1 s
    Then the exit code of balancer 1 is 0
    And no request has an unknown outcome
    And the report of the run has no findings

  Scenario: A killed balancer interrupts no feed
    Given a deployment with callers that run for 5 s
    When balancer 2 is killed after 1 s
    Then the report of the run has no findings

  Scenario: A resumed balancer has no stale effects and catches up
    Given a deployment with callers that run for 6 s
    When balancer 3 is paused after 0.5 s
    And a changed configuration is applied
    Then revision 2 is active on balancers 1, 2, 4 within 3 s
    When balancer 3 is resumed 4 s after its pause
    Then revision 2 is active on balancers 1, 2, 3, 4 within 3 s
    And the report of the run has no findings
    And balancer 3 is serving again

  Scenario: Malformed datagrams are counted and do not stop a balancer
    Given a deployment
    When 500 malformed datagrams are sent to both ports of balancer 4
    Then balancer 4 counts them and still answers a request
