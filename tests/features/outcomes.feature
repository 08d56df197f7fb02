Feature: What families and guides can rely on

  Scenario: A booking is sent again after the phone lost its connection
    Given a fleet with one engine
    When the trace "booking-resent" is replayed
    Then every booking was made exactly once
    And every call was answered whole or told to ask again

  Scenario: A booking is sent while the platform loses its answers
    Given a fleet with one engine
    And the platform loses the answers to its next 3 writes
    When the trace "booking-resent" is replayed
    Then every booking was made exactly once

  Scenario: Bookings while the platform is down
    Given a fleet with one engine
    And the platform is down
    When the trace "booking-hurried" is replayed
    Then no booking was made
    And every booking was refused as not run
    And every refusal says when to come back

  Scenario: Guides ask while long write-ups hold the engine
    Given a fleet with one engine
    When the trace "lookalike-beside-write-ups" is replayed
    Then every call of tier "urgent" was answered whole
    And the engine was never given more than 6 answers at a time

  Scenario: Engines break under running answers
    Given a fleet with two engines
    When the trace "chat-hour" is replayed and an engine breaks meanwhile
    Then no answer was wrong, cut and ended cleanly
    And no request was dispatched twice
    And what was said not to run did not run
