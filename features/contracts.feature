Feature: Contracts

  @promise-accepted @failure-operators-race
  Scenario: Two operators race under equal numbers through different instances
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 1000
    When two operators set the budget of "desk" to 2000 through r1 and to 3000 through r2 at once
    Then exactly one of them is accepted, and the other is told who won
    And every router has the accepted budget of "desk"

  @promise-accepted @failure-answer-lost
  Scenario: A change whose answer was lost is sent again to another instance
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 1000
    When an operator tops up "desk" by 500 through r1 and loses the answer
    And all daemons are killed and started again
    And the operator sends the same change through r3
    Then the top-up is accepted
    And the budget of "desk" was topped up by 500
    When the operator sends other contents under the same change id through r2
    Then the change is refused

  @promise-accepted @failure-partition
  Scenario: A tightening change during a partition is pending until no instance can serve the old version
    Given a cluster of 5 routers with 3 ledger replicas behind relays
    And the customer "desk" with a budget of 60000 and these partition terms:
      | servingSeconds | grantPercent |
      | 10             | 40           |
    And "desk" has asked r3 for 60 words 10 times
    And 1500 ms pass
    When the network is cut between r1, r2, r4 and r3, r5
    And 2500 ms pass
    And "desk" has asked r3 for 10 words 1 times
    And an operator retires the contract of "desk" through r1
    Then the change is pending
    And within 20 s the change is accepted
    And r3 refuses "desk"
    When the network heals
    Then r3 refuses "desk"
    And the budget of "desk" holds

  @promise-accepted @failure-restart
  Scenario: A retired contract stays retired after hundreds of changes and a restart of everything
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 1000
    And the contract of "desk" is retired
    And 300 changes of the customer "other"
    When all daemons are killed and started again
    Then r1 refuses "desk" as "contractRetired"
    And the newest version of "other" is 300

  @promise-accepted @promise-newest-contract
  Scenario: A request after an accepted change runs under the new version on every router
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And "desk" has asked all routers for 10 words
    When an operator sets the budget of "desk" to 110000
    And "desk" has asked all routers for 10 words
    Then "desk" has 3 bills under version 2
