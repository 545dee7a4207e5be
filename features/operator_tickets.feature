Feature: Operators apply change tickets
  An invalid ticket is refused with the path of the fault before anything is written.

  Scenario Outline: a ticket file with a fault
    Given a valid ticket file
    When its <place> is set to <value>
    And the operator applies the file
    Then the ticket is refused with "<path>" and nothing is written

    Examples:
      | place                          | value        | path                             |
      | number                         | 0            | $.number                         |
      | number                         | "7"          | $.number                         |
      | targets                        | 5            | $.targets                        |
      | targets.1                      | "leaf"       | $.targets[1]                     |
      | nmber                          | 7            | $.nmber                          |
      | targets.0.addres               | "10.0.0.1:1" | $.targets[0].addres              |
      | targets.0.address              | "leaf.local" | $.targets[0].address             |
      | targets.0.slots                | 0            | $.targets[0].slots               |
      | targets.0.slots                | "two"        | $.targets[0].slots               |
      | targets.0.service              | "none"       | $.targets[0].service             |
      | targets.0.failure_domain       | "none"       | $.targets[0].failure_domain      |
      | targets.0.status               | "gone"       | $.targets[0].status              |
      | targets.1.name                 | "leaf-0-0"   | $.targets[1].name                |
      | targets.1.address              | "10.0.0.1:1" | $.targets[1].address             |
      | services.0.minimum_coverage    | 2            | $.services[0].minimum_coverage   |
      | services.0.kind                | "other"      | $.services[0].kind               |
      | failure_domains.0.in_service   | "no"         | $.failure_domains[0].in_service  |

  Scenario Outline: the number of a ticket
    Given a store with ticket 5 for the failure domain "Pokhara"
    When the operator applies ticket <number> that takes "<domain>" <direction>
    Then the operator gets the verdict "<verdict>"

    Examples: used, superseded, higher, elsewhere
      | number | domain    | direction | verdict          |
      | 5      | Pokhara   | out       | already_accepted |
      | 5      | Pokhara   | back      | number_used      |
      | 4      | Pokhara   | back      | superseded       |
      | 4      | Kathmandu | out       | accepted         |
      | 6      | Pokhara   | back      | accepted         |

  Scenario Outline: two operators apply tickets concurrently
    Given a store with ticket 5 for the failure domain "Pokhara"
    When two operators apply tickets <first> and <second> for "Pokhara" concurrently
    Then the operators get the verdicts "<verdicts>"

    Examples:
      | first | second | verdicts              |
      | 6     | 6      | accepted, number_used |
      | 6     | 7      | accepted, accepted    |
      | 7     | 4      | accepted, superseded  |
