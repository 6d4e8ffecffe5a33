Feature: Configuration versions only increase

  Scenario: A control-plane node is behind
    Given a gateway that knows server s1
    When the operator revokes key k1
    And a control-plane node that is behind sends the previous configuration
    Then a request with key k1 is answered 401

  Scenario: The gateway has missed a change
    Given a gateway that knows server s1
    When a change arrives out of sequence
    Then the gateway requests a full snapshot
    And a proof for an index that it has not received does not extend its lease
