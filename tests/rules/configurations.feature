Feature: Configurations go forward only

  Scenario: Another source is behind
    Given a gateway that knows server s1
    When the operator takes key k1 away
    And a control machine that is behind tells of the configuration before
    Then a request with key k1 is answered 401

  Scenario: The gateway has missed a change
    Given a gateway that knows server s1
    When a change comes whose number doesn't follow
    Then the gateway asks for the whole
    And nothing is proven by an index that it doesn't know
