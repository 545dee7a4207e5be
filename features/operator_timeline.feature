Feature: Merged time line of the events of all processes
  Operators merge the events of many processes, from log files and admin ports. A cause
  precedes its effects even if the clocks of the processes differ.

  Scenario Outline: A message between processes whose clocks differ
    Given "vm-1" sends a message to "vm-2" whose clock is <skew> ms off
    When the operator merges both log files
    Then "vm-1" precedes "vm-2" in the time line

    Examples:
      | skew     |
      | 0        |
      | 5000     |
      | -5000    |
      | -3600000 |

  Scenario Outline: A faulty or repeated source
    Given "vm-1" sends a message to "vm-2" whose clock is 0 ms off
    When the operator merges both log files and <source>
    Then the time line command exits with code <code>
    And <count> events are shown
    And the time line command reports "<message>"

    Examples:
      | source                  | code | count | message              |
      | a file with a traceback | 0    | 2     | 3 lines are no event |
      | a file that is missing  | 1    | 0     | cannot read          |
      | a port without a daemon | 0    | 2     | no answer from       |
      | the first file again    | 0    | 2     |                      |

  Scenario: No source
    When the operator asks for a time line without a source
    Then the time line command exits with code 2
