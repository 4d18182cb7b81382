Feature: Prepaid budgets

  @promise-budget @promise-true-refusal
  Scenario: An exhausted budget refuses, and the refused request did not run
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 3000
    When "desk" asks all routers for 10 words until refused
    Then the last answer is refused as "budgetExhausted" and did not run
    And the budget of "desk" holds
    And "desk" has one bill for each whole answer

  @promise-budget @failure-partition
  Scenario: Both sides of a long partition spend until they are exhausted
    Given a cluster of 5 routers with 3 ledger replicas behind relays
    And the customer "desk" with a budget of 20000 and these partition terms:
      | servingSeconds | grantPercent |
      | 60             | 40           |
    And "desk" has asked r3 for 10 words 20 times
    When the network is cut between r1, r2, r4 and r3, r5
    And "desk" asks r3 for 10 words until refused
    Then at least 1 answer of r3 was whole during the partition
    When "desk" asks r1 for 10 words until refused
    Then the last answer is refused as "budgetExhausted" and did not run
    When the network heals
    Then the budget of "desk" holds after all grants are merged
    And "desk" has one bill for each whole answer
    And the budget of "desk" holds

  @promise-budget @failure-top-up-in-partition
  Scenario: A budget is topped up during a partition
    Given a cluster of 5 routers with 3 ledger replicas behind relays
    And the customer "desk" with a budget of 3000
    And "desk" asks r1 for 10 words until refused
    When the network is cut between r1, r2, r4 and r3, r5
    And an operator tops up "desk" by 50000 through r3
    Then the top-up is not confirmed
    When an operator tops up "desk" by 50000 through r1
    Then the top-up is accepted
    When "desk" asks r1 for 10 words
    Then the answer is whole
    When the network heals
    Then the budget of "desk" was topped up by 50000
    And the budget of "desk" holds

  @promise-budget @failure-two-together
  Scenario: A router with open requests is killed during a partition that then heals
    Given a cluster of 5 routers with 3 ledger replicas behind relays
    And the customer "desk" with a budget of 60000 and these partition terms:
      | servingSeconds | grantPercent |
      | 60             | 40           |
    And "desk" has asked r3 for 60 words 10 times
    And 1500 ms pass
    And model servers that take 30 ms a token
    When the network is cut between r1, r2, r4 and r3, r5
    And 2500 ms pass
    And "desk" has asked r3 for 10 words 3 times
    And "desk" starts to ask r3 for 60 words as a stream with the key "k1"
    And 600 ms pass
    And r3 is killed
    Then the started answer was cut off
    When the network heals
    And r3 is started
    And "desk" asks r1 for 60 words as a stream with the key "k1" until served
    Then the budget of "desk" holds after all grants are merged
    And "desk" has at most one bill for the key "k1"
    And "desk" has one bill for each whole answer
    And the budget of "desk" holds

  @promise-billed-once @failure-two-together
  Scenario: A router dies in a partition, and its journal comes back after the retry was billed
    Given a cluster of 5 routers with 3 ledger replicas behind relays
    And the customer "desk" with a budget of 60000 and these partition terms:
      | servingSeconds | grantPercent |
      | 60             | 40           |
    And "desk" has asked r3 for 60 words 10 times
    And 1500 ms pass
    And model servers that take 30 ms a token
    When the network is cut between r1, r2, r4 and r3, r5
    And 2500 ms pass
    And "desk" has asked r3 for 10 words 1 times
    And "desk" starts to ask r3 for 60 words as a stream with the key "k2"
    And 600 ms pass
    And r3 is killed
    Then the started answer was cut off
    When the network heals
    And "desk" asks r1 for 60 words as a stream with the key "k2" until served
    And r3 is started
    Then the budget of "desk" holds after all grants are merged
    And "desk" has one bill for each whole answer
    And the budget of "desk" holds

  @promise-budget @failure-partition
  Scenario: A partition begins right after a customer's first request
    Given a cluster of 5 routers with 3 ledger replicas behind relays
    And the customer "desk" with a budget of 60000 and these partition terms:
      | servingSeconds | grantPercent |
      | 60             | 40           |
    And "desk" has asked r3 for 10 words 1 times
    And 2500 ms pass
    When the network is cut between r1, r2, r4 and r3, r5
    And 2500 ms pass
    And "desk" asks r3 for 10 words
    Then the answer is whole
    When the network heals
    Then the budget of "desk" holds after all grants are merged
