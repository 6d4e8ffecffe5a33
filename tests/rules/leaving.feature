Feature: Servers and gateways that leave in order

  Background:
    Given a gateway that knows server s1

  Scenario: A server says that it is draining
    When a transfer is sent to s1
    And server s1 is told to be draining
    Then the answer of s1 reaches the client whole
    And a transfer is answered 503

  Scenario: The gateway is stopped while a server is at work
    When a transfer is sent to s1
    And the gateway gets SIGTERM
    Then the gateway is not ready
    When 1.5 seconds pass without a word
    Then the answer of s1 reaches the client whole
    And the gateway ends before its grace of 6 seconds is over
