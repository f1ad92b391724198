Feature: Whole path with real processes
  Callers hand each datagram to a random balancer of four. Feeds, requests
  and uploads run while balancers are stopped, killed and paused.

  Scenario: A planned stop cuts no request and breaks no feed
    Given a deployment with callers at work for 4 s
    When balancer 1 gets SIGTERM after 1 s
    Then the exit code of balancer 1 is 0
    And no outcome is unknown
    And the account is right

  Scenario: A killed balancer breaks no feed
    Given a deployment with callers at work for 5 s
    When balancer 2 is killed after 1 s
    Then the account is right

  Scenario: A paused balancer has no late effect and catches up
    Given a deployment with callers at work for 6 s
    When balancer 3 is paused after 0.5 s
    And a changed configuration is applied
    Then revision 2 is in force on balancers 1, 2, 4 within 3 s
    When balancer 3 goes on 4 s after its pause
    Then revision 2 is in force on balancers 1, 2, 3, 4 within 3 s
    And the account is right
    And balancer 3 serves again

  Scenario: Malformed datagrams are counted and stop nothing
    Given a deployment
    When 500 malformed datagrams are sent to both ports of balancer 4
    Then balancer 4 counts them and answers a request
