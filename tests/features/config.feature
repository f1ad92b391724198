Feature: Configuration of a deployment
  Operators check a file as a whole, apply it with compare-and-swap, and
  always get a true report of the outcome.

  Scenario: All errors of a file are reported at once, one line each
    Given the file "bad.yaml" made from the Bellbird example
      | old                 | new                  |
      | slots: 2            | slots: two           |
      | mode: feed          | mode: fed            |
      | failure_domain: qld-tsv | failure_domain: x |
      | - status-query      | - door-feed          |
    When the operator runs "config check bad.yaml"
    Then the exit code is 3
    And the error lines are
      | line                                                                 |
      | bad.yaml:25: services.counter.servers.counter-1.slots: found 'two'; allowed: a valid integer |
      | bad.yaml:29: services.counter.servers.counter-2.failure_domain: found 'x'; allowed: one of qld-bne, qld-cns, qld-too, qld-tsv |
      | bad.yaml:81: precedence: found no status-query; allowed: each kind once |
      | bad.yaml:84: precedence.2: found door-feed again; allowed: each kind once |
      | bad.yaml:91: kinds.door-feed.mode: found 'fed'; allowed: 'feed', 'request' or 'bulk' |

  Scenario: A program gets the errors of a file as JSON
    Given the file "bad.yaml" made from the Bellbird example
      | old      | new      |
      | slots: 2 | slots: 0 |
    When the operator runs "config check bad.yaml --json"
    Then the exit code is 3
    And the JSON output has "findings.0.line" 25

  Scenario: The first accepted file is revision 1 and applying it again writes nothing
    Given an empty store
    And the file "bellbird.yaml" made from the Bellbird example
    When the operator runs "config apply bellbird.yaml"
    Then the exit code is 0
    And the output contains "revision 1 applied"
    When the operator runs "config apply bellbird.yaml"
    Then the exit code is 0
    And the output contains "revision 1 unchanged"
    And the store had 1 write

  Scenario: An edited file is shown, compared and applied
    Given an empty store
    And the Bellbird example is applied
    When the operator runs "config show"
    Then the output contains "based_on: 1"
    Given the output is saved as "mine.yaml" with "share: 1" changed to "share: 2"
    When the operator runs "config diff mine.yaml"
    Then the exit code is 0
    And the output contains "changed customers.arrowtail-fitters.share: 1.0 -> 2.0"
    When the operator runs "config apply mine.yaml"
    Then the exit code is 0
    And the output contains "revision 2 applied"
    And the output contains "changed customers.arrowtail-fitters.share: 1.0 -> 2.0"
    When the operator runs "config history"
    Then the output has 2 lines

  Scenario: The second of two operators sees what changed since the base
    Given an empty store
    And the Bellbird example is applied
    When the operator runs "config show"
    Given the output is saved as "first.yaml" with "share: 1" changed to "share: 2"
    And the output is saved as "second.yaml" with "slots: 2" changed to "slots: 1"
    When the operator runs "config apply first.yaml"
    Then the exit code is 0
    When the operator runs "config apply second.yaml"
    Then the exit code is 4
    And the error contains "the file is based on revision 1, the store holds revision 2"
    And the error contains "changed customers.arrowtail-fitters.share: 1.0 -> 2.0"
    And the store had 2 writes

  Scenario: --base is compared and must not contradict the file
    Given an empty store
    And the Bellbird example is applied
    And the file "mine.yaml" made from the Bellbird example
      | old      | new      |
      | slots: 2 | slots: 1 |
    When the operator runs "config apply mine.yaml --base 0"
    Then the exit code is 4
    When the operator runs "config apply mine.yaml --base 1"
    Then the exit code is 0
    When the operator runs "config show"
    Given the output is saved as "again.yaml" with "slots: 1" changed to "slots: 3"
    When the operator runs "config apply again.yaml --base 1"
    Then the exit code is 2

  Scenario Outline: A lost answer is resolved by reading again
    Given an empty store
    And the Bellbird example is applied
    And the file "mine.yaml" made from the Bellbird example
      | old      | new      |
      | slots: 2 | slots: 1 |
    And the store has the fault <fault>
    When the operator runs "config apply mine.yaml --json"
    Then the exit code is 0
    And the JSON output has "outcome" "applied"
    And the JSON output has "revision" 2
    When the operator runs "config show --apply-id" with the reported apply id
    Then the exit code is 0
    And the output contains "applied as revision 2"
    When the operator runs "config history"
    Then the output has 2 lines

    Examples: the write takes effect, is dropped, or takes effect later
      | fault            |
      | lose_answers 1   |
      | drop_writes 1    |
      | late_writes 1    |

  Scenario Outline: An outcome that is not yet known is reported as such
    Given an empty store
    And the Bellbird example is applied
    And the file "mine.yaml" made from the Bellbird example
      | old      | new      |
      | slots: 2 | slots: 1 |
    And the store has the fault <fault>
    And the store has the fault outage_follows 1
    When the operator runs "config apply mine.yaml --wait 0.2"
    Then the exit code is 6
    And the error contains "not yet known whether the file was applied"
    When the operator runs the command that the error names
    Then the exit code is 6
    When the outage ends
    And the operator runs the command that the error names
    Then the exit code is <code>
    When the operator runs "config apply mine.yaml"
    Then the exit code is 0
    And the output contains "revision 2 <result>"

    Examples: the write takes effect or is dropped
      | fault          | code | result    |
      | lose_answers 1 | 0    | unchanged |
      | drop_writes 1  | 6    | applied   |

  Scenario: A dropped write is reported as not applied after another file
    Given an empty store
    And the Bellbird example is applied
    And the file "mine.yaml" made from the Bellbird example
      | old      | new      |
      | slots: 2 | slots: 1 |
    And the file "other.yaml" made from the Bellbird example
      | old      | new      |
      | share: 1 | share: 2 |
    And the store has the fault drop_writes 1
    And the store has the fault outage_follows 1
    When the operator runs "config apply mine.yaml --wait 0"
    Then the exit code is 6
    When the outage ends
    And another operator runs "config apply other.yaml"
    And the operator runs the command that the error names
    Then the exit code is 5
    And the error contains "not applied: another file is revision 2"

  Scenario: Nothing is applied during an outage of the store
    Given an empty store
    And the Bellbird example is applied
    And the file "mine.yaml" made from the Bellbird example
      | old      | new      |
      | slots: 2 | slots: 1 |
    When an outage begins
    And the operator runs "config apply mine.yaml"
    Then the exit code is 5
    And the error contains "not applied: the store did not respond: cannot connect"
    When the operator runs "config show"
    Then the exit code is 5
    When the outage ends
    And the operator runs "config apply mine.yaml"
    Then the exit code is 0
    And the output contains "revision 2 applied"

  Scenario: An interrupted command reports how to query its outcome
    Given an empty store
    And the file "bellbird.yaml" made from the Bellbird example
    And the store has the fault drop_writes 100
    When the operator interrupts "config apply bellbird.yaml" after a write
    Then the exit code is 6
    And the error contains "--apply-id 0-"
    And the error has 1 line
