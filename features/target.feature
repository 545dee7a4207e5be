Feature: The target's interface
  Each attempt at a target has one outcome. It counts as "not run" only if it is certain
  that the target has not run the attempt.

  Scenario: A complete answer
    Given a target that answers the attempt
    When a search is sent to it
    Then the attempt is answered from version 7 with 1 row

  Scenario: A receipt for an order
    Given a target that answers the attempt
    When an order is sent to it
    Then the order has the receipt "entered"

  Scenario Outline: Faults of a target
    Given a target that <fault>
    When <what> is sent to it
    Then the attempt fails as "<failure>"
    And it is <certain> that the target did not run it

    Examples: Refusals
      | fault                             | what     | failure         | certain     |
      | sheds the attempt                 | a search | refused         | certain     |
      | sheds the attempt                 | an order | refused         | certain     |
      | has dropped the version           | a search | version_gone    | certain     |
      | has cancelled the attempt         | a search | cancelled       | not certain |

    Examples: Connections
      | fault                             | what     | failure         | certain     |
      | does not listen                   | a search | unreachable     | certain     |
      | does not listen                   | an order | unreachable     | certain     |
      | closes without an answer          | a search | connection_lost | not certain |
      | closes without an answer          | an order | connection_lost | not certain |
      | closes within the answer          | an order | connection_lost | not certain |
      | is silent                         | a search | timed_out       | not certain |
      | is silent                         | an order | timed_out       | not certain |
      | trickles its answer               | a search | timed_out       | not certain |

    Examples: Invalid answers
      | fault                             | what     | failure         | certain     |
      | answers another attempt           | a search | malformed       | not certain |
      | answers another attempt           | an order | malformed       | not certain |
      | answers with broken JSON          | a search | malformed       | not certain |
      | answers without its load          | a search | malformed       | not certain |
      | answers with an impossible range  | a search | malformed       | not certain |
      | answers with a page of HTML       | an order | malformed       | not certain |
      | fails inside                      | an order | malformed       | not certain |
