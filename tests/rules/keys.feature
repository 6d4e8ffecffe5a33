Feature: Revoked keys
  Five seconds after a revocation is acknowledged, no gateway accepts the key any more, not even one that has
  not received the change.

  Background:
    Given a gateway that knows server s1
    And it has just confirmed that its configuration is the latest

  Scenario: The gateway receives the change
    When the operator revokes key k1
    Then a request with key k1 is answered 401
    And a request with key k2 is sent to s1

  Scenario Outline: The gateway is cut off from the control plane
    When <seconds> seconds pass without any message
    Then a request with key k1 is <outcome>

    Examples:
      | seconds | outcome      |
      | 4.4     | sent to s1   |
      | 4.6     | answered 503 |
      | 60      | answered 503 |

  Scenario: Its connection to the server is established too late
    When 4.4 seconds pass without any message
    And a request with key k1 waits for a connection for 0.2 seconds
    Then that request is answered 503 and s1 never sees it

  Scenario: Another gateway relays an old proof
    When another gateway relays a proof that is 3 seconds old
    And 4 seconds pass without any message
    Then a request with key k1 is answered 503

  Scenario: A request is in flight when the lease expires
    Given it knows server s2 as well
    When 4.4 seconds pass without any message
    And a repeatable request with key k1 is sent, and its server resets it 0.3 seconds later
    Then that request is answered 502 and no other server sees it
