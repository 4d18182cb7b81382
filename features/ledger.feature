Feature: The ledger's replicas

  @promise-billed-once @failure-frozen-leader
  Scenario: A frozen leader wakes up and changes nothing
    Given a cluster of 4 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    When the ledger's leader is frozen
    And "desk" asks r4 for 10 words until served
    And an operator tops up "desk" by 500 through the running instances
    And the frozen instance wakes up
    Then the budget of "desk" was topped up by 500
    When "desk" asks the woken instance for 10 words
    Then the budget of "desk" holds
    And "desk" has one bill for each whole answer

  @promise-billed-once @failure-lost-disk
  Scenario: A replica loses its disk, and another is lost right after the repair
    Given a cluster of 4 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And "desk" has asked r4 for 10 words 5 times
    When r2 is killed
    And r2 loses its disk
    And r2 is started
    Then within 25 s the ledger has 3 voters that answer, r2 among them under a new identity
    When r1 is killed
    And "desk" asks r4 for 10 words until served
    Then the answer is whole
    And "desk" has one bill for each whole answer

  @promise-billed-once @failure-restart
  Scenario: All daemons are killed at once and started again
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And "desk" has asked r1 for 10 words 10 times
    When all daemons are killed and started again
    Then "desk" has one bill for each whole answer
    When "desk" asks r2 for 10 words
    Then the answer is whole
    And the budget of "desk" holds

  @promise-accepted @failure-silent-control @failure-two-together
  Scenario: The leader can hear the others but not be heard, and heals after it was replaced
    Given a cluster of 4 routers with 3 ledger replicas behind relays
    And the customer "desk" with a budget of 100000
    And "desk" has asked r4 for 10 words 5 times
    When the ledger's leader can no longer be heard by the others
    And "desk" asks r4 for 10 words until served
    And an operator tops up "desk" by 500 through the other instances
    Then the top-up is accepted
    When the network heals
    Then the budget of "desk" was topped up by 500
    When "desk" asks the woken instance for 10 words until served
    Then the budget of "desk" holds
    And "desk" has one bill for each whole answer
