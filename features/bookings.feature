Feature: Calls that must not be repeated

  @promise-at-most-once @failure-router-dies
  Scenario: The router of a booking is killed and the caller retries elsewhere
    Given a cluster of 4 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And the next call of the service is answered after 2000 ms
    When "desk" starts to book the lot "7" through r4 with the key "sale-7"
    And 700 ms pass
    And r4 is killed
    And "desk" books the lot "7" through r1 with the key "sale-7" until served
    Then the answer has the status 201
    And the lot "7" was sold exactly once
    And "desk" has 1 bill, one for each request

  @promise-at-most-once
  Scenario: The service dies after it has booked
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And the next call of the service is answered after 3000 ms
    When "desk" starts to book the lot "8" through r1 with the key "sale-8"
    And 700 ms pass
    And the server "bookings-1" is killed
    And the server "bookings-1" is started again
    And "desk" books the lot "8" through r2 with the key "sale-8" until served
    Then the answer has the status 201
    And the lot "8" was sold exactly once

  # Guards against retries that get 409 forever: the settlement of a call that
  # its router had stopped running stored no response.
  @promise-at-most-once
  Scenario: The service comes back after its router has stopped asking
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And the next call of the service is answered after 3000 ms
    When "desk" starts to book the lot "10" through r1 with the key "sale-10"
    And 700 ms pass
    And the server "bookings-1" is killed
    And 3000 ms pass
    And the server "bookings-1" is started again
    And "desk" books the lot "10" through r2 with the key "sale-10" until served
    Then the answer has the status 201
    And the lot "10" was sold exactly once
    And "desk" has 1 bill, one for each request

  @promise-at-most-once @failure-two-together
  Scenario: Router and service die together
    Given a cluster of 4 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And the next call of the service is answered after 3000 ms
    When "desk" starts to book the lot "9" through r4 with the key "sale-9"
    And 700 ms pass
    And r4 is killed
    And the server "bookings-1" is killed
    And the server "bookings-1" is started again
    And "desk" books the lot "9" through r2 with the key "sale-9" until served
    Then the lot "9" was sold exactly once

  @promise-true-refusal
  Scenario Outline: What the answer says of a booking is true when the service fails as "<failure>"
    Given a cluster of 3 routers with 3 ledger replicas
    And the customer "desk" with a budget of 100000
    And the next 3 calls of the service fail as "<failure>"
    When "desk" books the lot "10" through r1 with the key "sale-10"
    Then an answer that says it did not run is true of the lot "10"

    Examples:
      | failure       |
      | dropBeforeRun |
      | dropAfterRun  |
