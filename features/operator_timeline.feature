Feature: One time line of the events of all processes
  Operators merge the events of many processes, from log files and admin ports. A cause
  stands before its effects though the clocks of the processes differ.

  Scenario Outline: A message between processes whose clocks differ
    Given "vm-1" sends a message to "vm-2" whose clock is <skew> ms off
    When the operator merges both log files
    Then "vm-1" stands before "vm-2" in the time line

    Examples:
      | skew     |
      | 0        |
      | 5000     |
      | -5000    |
      | -3600000 |

  Scenario Outline: A source that is not in order
    Given "vm-1" sends a message to "vm-2" whose clock is 0 ms off
    When the operator merges both log files and <source>
    Then the command for the time line ends with code <code>
    And <count> events are shown
    And the operator reads "<message>"

    Examples:
      | source                  | code | count | message              |
      | a file with a traceback | 0    | 2     | 3 lines are no event |
      | a file that is missing  | 1    | 0     | cannot read          |
      | a port without a daemon | 0    | 2     | no answer from       |
      | the first file again    | 0    | 2     |                      |

  Scenario: No source at all
    When the operator asks for a time line of nothing
    Then the command for the time line ends with code 2
