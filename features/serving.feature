Feature: Serving requests

  @promise-whole-path
  Scenario: A request is served, billed and explained
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    When "desk" asks r1 for 12 words
    Then the answer is whole
    When "desk" asks r2 for 12 words as a stream
    Then the answer is whole
    And "desk" has 2 bills, one for each request
    And each answer can be explained by r3

  @promise-billed-once @promise-whole-answer @failure-router-dies
  Scenario: A router is killed in the middle of a stream and the caller retries elsewhere
    Given a cluster of 4 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And model servers that take 50 ms a token
    When "desk" starts to ask r4 for 40 words as a stream with the key "k1"
    And 800 ms pass
    And r4 is killed
    And "desk" asks r1 for 40 words as a stream with the key "k1" until served
    Then the answer is whole
    And "desk" has 1 bill, one for each request
    And the budget of "desk" holds

  @promise-billed-once @failure-router-frozen
  Scenario: A router wakes up and settles a request that another one has served meanwhile
    Given a cluster of 4 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And model servers that take 50 ms a token
    When "desk" starts to ask r4 for 40 words as a stream with the key "k5"
    And 800 ms pass
    And r4 is frozen
    And "desk" asks r1 for 40 words as a stream with the key "k5" until served
    And the frozen instance wakes up
    Then the started answer is whole
    And "desk" has 1 bill, one for each request
    And the budget of "desk" holds

  @promise-billed-once
  Scenario: A finished request is sent again through another router
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    When "desk" asks r1 for 20 words with the key "k3"
    And "desk" asks r2 for 20 words with the key "k3"
    Then every answer is whole
    And "desk" has 1 bill, one for each request

  @promise-whole-answer
  Scenario Outline: A model server fails as "<failure>" and the caller gets a whole answer
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And the next call of each model server fails as "<failure>"
    When "desk" asks r1 for 20 words as a stream
    Then the answer is whole
    And "desk" has 1 bill, one for each request

    Examples:
      | failure             |
      | dropAfterFirstChunk |
      | endAfterFirstChunk  |
      | noTerminator        |

  @promise-whole-answer
  Scenario: A model server always answers with the id of another attempt
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And the server "model-1" always fails as "crossedId"
    And "desk" has asked r1 for 10 words 10 times
    Then every answer is whole
    And the server "model-1" was called
    And "desk" has one bill for each request

  @promise-leaving
  Scenario: A leaving backend server gets no new work and finishes its running requests
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 10000000
    And model servers that take 20 ms a token
    And a load of 20 requests a second on all routers by "desk"
    When 1000 ms pass
    And the server "model-1" leaves
    And the load stops
    Then every answer is whole
    And the server "model-1" got no new work 3000 ms after it announced that it leaves

  @promise-graceful-stop
  Scenario: All daemons are restarted one after another under load
    Given a cluster of 4 routers with 3 ledger replicas
    And the customer "desk" with a budget of 10000000
    And a load of 20 requests a second on all ready routers by "desk"
    When every daemon is restarted gracefully, one after another
    And the load stops
    Then every answer is whole
    And "desk" has one bill for each request

  @promise-graceful-stop
  Scenario: A long stream ends whole before its router stops
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And model servers that take 100 ms a token
    When "desk" starts to ask r3 for 60 words as a stream
    And 500 ms pass
    And r3 is restarted gracefully
    Then the started answer is whole
    And "desk" has 1 bill, one for each request
