Feature: Outcomes that callers can rely on

  Scenario: A booking is sent again after a lost connection
    Given a fleet with one engine
    When the trace "booking-resent" is replayed
    Then every booking was made exactly once
    And every call got a complete response or status 409

  Scenario: A booking is sent while the platform loses its responses
    Given a fleet with one engine
    And the platform loses the responses to its next 3 writes
    When the trace "booking-resent" is replayed
    Then every booking was made exactly once

  Scenario: Bookings while the platform is down
    Given a fleet with one engine
    And the platform is down
    When the trace "booking-hurried" is replayed
    Then no booking was made
    And every booking was refused as not run
    And every refusal has a retry-after time

  Scenario: Urgent calls are sent while long requests occupy the engine
    Given a fleet with one engine
    When the trace "lookalike-beside-write-ups" is replayed
    Then every call of tier "urgent" got a complete response
    And the engine never ran more than 6 requests at the same time

  Scenario: An engine breaks while it generates responses
    Given a fleet with two engines
    When the trace "chat-hour" is replayed and an engine breaks during the replay
    Then no cleanly ended response was wrong or truncated
    And no request ran more than once
    And no request reported as not run has run
