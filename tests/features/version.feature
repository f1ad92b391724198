Feature: Command line
  Scenario: The program prints its version
    When I run "cyclamenridge version"
    Then the exit code is 0
    And the output contains "0.1.0"
