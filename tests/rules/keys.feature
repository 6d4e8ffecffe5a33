Feature: A key that is taken away
  The operator takes keys away from connected clients. Five seconds after the acknowledgement none is of any
  use, at any gateway, also at one that has heard nothing of it.

  Background:
    Given a gateway that knows server s1
    And it has just proven that its configuration is the newest

  Scenario: The gateway is told
    When the operator takes key k1 away
    Then a request with key k1 is answered 401
    And a request with key k2 is sent to s1

  Scenario Outline: The gateway is cut off from the control plane
    When <seconds> seconds pass without a word
    Then a request with key k1 is <outcome>

    Examples:
      | seconds | outcome      |
      | 4.4     | sent to s1   |
      | 4.6     | answered 503 |
      | 60      | answered 503 |

  Scenario: Its connection to the server comes up too late
    When 4.4 seconds pass without a word
    And a request with key k1 waits for a connection for 0.2 seconds
    Then that request is answered 503 and s1 never sees it

  Scenario: It hears of the newest configuration from another gateway, whose own proof is old
    When another gateway passes on a proof that is 3 seconds old
    And 4 seconds pass without a word
    Then a request with key k1 is answered 503

  Scenario: A request is on its way when the right ends
    Given it knows server s2 as well
    When 4.4 seconds pass without a word
    And a repeatable request with key k1 is sent, and its server breaks off 0.3 seconds later
    Then that request is answered 502 and no other server sees it
