Feature: Draining of servers and gateways

  Background:
    Given a gateway that knows server s1

  Scenario: A server is draining
    When a transfer is sent to s1
    And server s1 is reported as draining
    Then the complete response of s1 reaches the client
    And a transfer is answered 503

  Scenario: The gateway is stopped while a request is in flight
    When a transfer is sent to s1
    And the gateway gets SIGTERM
    Then the gateway is not ready
    When 1.5 seconds pass without any message
    Then the complete response of s1 reaches the client
    And the gateway terminates within its grace period of 6 seconds
