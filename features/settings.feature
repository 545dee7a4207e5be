Feature: The settings file
  A daemon starts only with valid settings. An error gives one line with the path of the
  key and a non-zero exit code, and nothing is started.

  Background:
    Given valid settings

  Scenario: Valid settings
    When the settings are checked
    Then the exit code is 0

  Scenario Outline: Invalid settings
    Given the settings with <key> set to <value>
    When the daemon is started
    Then the exit code is 2
    And the single line of the error contains "<text>"

    Examples: Invalid values
      | key                         | value          | text                           |
      | vm_name                     | 7              | $.vm_name                      |
      | vm_name                     | ""             | $.vm_name                      |
      | listen                      | []             | $.listen                       |
      | listen.ip                   | "localhost"    | $.listen.ip                    |
      | listen.caller_port          | 65536          | $.listen.caller_port           |
      | listen.caller_port          | "80"           | $.listen.caller_port           |
      | platform.store_address      | "127.0.0.1"    | $.platform.store_address       |
      | limits                      | 1              | $.limits                       |
      | limits.store_timeout_ms     | 0              | $.limits.store_timeout_ms      |

    Examples: Unknown keys
      | key                         | value          | text                           |
      | colour                      | "red"          | unknown key - at `$.colour`    |
      | listen.udp_port             | 1              | unknown key - at `$.listen.udp_port` |
      | limits.store_timeout        | 1              | unknown key - at `$.limits.store_timeout` |

  Scenario Outline: Missing keys
    Given the settings without <key>
    When the daemon is started
    Then the exit code is 2
    And the single line of the error contains "<text>"

    Examples:
      | key                    | text             |
      | vm_name                | `vm_name`        |
      | listen.ip              | `ip`             |
      | platform.store_address | `store_address`  |

  Scenario Outline: Unusable files
    Given a settings file that is <state>
    When the daemon is started
    Then the exit code is 2
    And the single line of the error contains "<text>"

    Examples:
      | state     | text        |
      | absent    | cannot read |
      | a folder  | cannot read |
      | no JSON   | not JSON    |
      | not UTF-8 | not JSON    |
      | a list    | object      |

  Scenario Outline: Ports in use
    Given another process that listens on <key>
    When the daemon is started
    Then the exit code is 1
    And the single line of the error contains "cannot listen on 127.0.0.1:"

    Examples:
      | key                |
      | listen.caller_port |
      | listen.admin_port  |
      | listen.peer_port   |

  Scenario: A log file that cannot be written
    Given the settings with log_file set to "/nowhere/daemon.log"
    When the daemon is started
    Then the exit code is 1
    And the single line of the error contains "cannot write the log file"
