Feature: The check of a configuration before it is sent
  The check finds what daemons would refuse or misread, and what is hardly as it is
  meant. Each finding has a path in the file and says what to do. No key is printed.

  Background:
    Given a configuration in order

  Scenario: A configuration in order
    When the configuration is checked
    Then the exit code is 0
    And nothing is found

  Scenario Outline: What daemons refuse or misread
    Given a configuration with <path> set to <value>
    When the configuration is checked
    Then the exit code is 1
    And the findings have an error at <place> with "<text>"
    And no key is printed

    Examples: Refused by the daemons' decoder
      | path                  | value            | place                     | text           |
      | Version               | "3"              | $.Version                 | Expected `int` |
      | Routes                | {}               | $.Routes                  | Expected `array` |
      | Routes.1.RouteType    | "safe"           | $.Routes[1].RouteType     | Invalid enum   |
      | Routes.0.Gather.1     | 7                | $.Routes[0].Gather[1]     | Expected `str` |
      | Routes.1              | {"Name": "r"}    | $.Routes[1]               | missing required |
      | Services.2.MaxConns   | 1.5              | $.Services[2].MaxConns    | Expected `int` |
      | Limits                | {}               | $.Limits                  | missing required |
      | Tenants.1.Name        | ""               | $.Tenants[1].Name         | matching regex |
      | Tenants.0.RatePerS    | -1               | $.Tenants[0].RatePerS     | >= 0           |
      | Tenants.0.ApiKeys     | "secret-a1"      | $.Tenants[0].ApiKeys      | Expected `array` |
      | Tenants.0             | ["secret-a1"]    | $.Tenants[0]              | Expected `object` |

    Examples: Used otherwise than it is written
      | path                       | value     | place                          | text                |
      | Version                    | -1        | $.Version                      | never use           |
      | Routes.1.MaxAttempts       | 0         | $.Routes[1].MaxAttempts        | is read as 1        |
      | Routes.1.Gather            | ["visits"] | $.Routes[1].Service           | not used beside Gather |
      | Routes.1.Service           | ""        | $.Routes[1].Service            | names no service    |
      | Routes.1.TimeoutMs         | 0.5       | $.Routes[1].TimeoutMs          | too late at once    |
      | Routes.0.MinCoverage       | -0.5      | $.Routes[0].MinCoverage        | is negative         |
      | Routes.2.WeightedBackends.0.Weight | -1 | $.Routes[2].WeightedBackends  | is negative         |
      | Services.1.Name            | "visits"  | $.Services[1].Name             | has the same name   |
      | Services.3.WarmupPerS      | -3        | $.Services[3].WarmupPerS       | is read as no limit |
      | Limits.MaxBodyBytes        | 0         | $.Limits.MaxBodyBytes          | raise it            |
      | Tenants.1.Name             | "acme"    | $.Tenants[1].Name              | its limits apply    |

  Scenario Outline: What is hardly as it is meant
    Given a configuration with <path> set to <value>
    When the configuration is checked for the regions "a,b"
    Then the exit code is 0
    And the findings have a warning at <place> with "<text>"
    And no key is printed

    Examples: Routes that never match
      | path                | value              | place                   | text                  |
      | Routes.1.PathPrefix | "/wide/"           | $.Routes[0].PathPrefix  | $.Routes[1] has the same host and prefix |
      | Routes.1.PathPrefix | "/visit"           | $.Routes[1].PathPrefix  | end it with a slash   |
      | Routes.1.PathPrefix | "visit/"           | $.Routes[1].PathPrefix  | begin and end         |
      | Routes.1.PathPrefix | "/visit?a=/"       | $.Routes[1].PathPrefix  | no path has           |
      | Routes.1.PathPrefix | "/vi sit/"         | $.Routes[1].PathPrefix  | no path has           |
      | Routes.1.Host       | "search.example:80" | $.Routes[1].Host       | without port          |
      | Routes.1.Host       | ""                 | $.Routes[1].Host        | no request has        |
      | Routes.1.Host       | "a b"              | $.Routes[1].Host        | no request has        |
      | Routes.1.Name       | "wide"             | $.Routes[0].Name        | rename one            |

    Examples: Services
      | path                | value              | place                   | text                  |
      | Routes.1.Service    | "visit"            | $.Routes[1].Service     | visit has no entry    |
      | Routes.0.Gather.1   | "shard-9"          | $.Routes[0].Gather      | shard-9 has no entry  |
      | Services.0.Name     | "spare"            | $.Services[0].Name      | no route names        |
      | Services.0.MaxConns | 0                  | $.Services[0].MaxConns  | no leaf gets          |
      | Services.0.HealthPath | "health"         | $.Services[0].HealthPath | begin it with        |
      | Services.3.WarmupS  | 0                  | $.Services[3].WarmupPerS | without WarmupS      |
      | Routes.0.Gather.1   | "shard-0"          | $.Routes[0].Gather      | shard-0 twice         |
      | Routes.0.MinCoverage | 1.2               | $.Routes[0].MinCoverage | cannot be met         |
      | Routes.0.Gather     | ["shard-0", "shard-0", "shard-1"] | $.Routes[0].Gather | twice        |
      | Routes.0.TopK       | 0                  | $.Routes[0].TopK        | no records            |
      | Routes.2.WeightedBackends.0.Weight | 0   | $.Routes[2].WeightedBackends | is 0             |
      | Routes.2.WeightedBackends.0.Weight | 1e-20 | $.Routes[2].WeightedBackends | lost in rounding |

    Examples: Limits that contradict each other
      | path                    | value | place                      | text              |
      | Routes.1.TargetLatencyMs | 900  | $.Routes[1].TargetLatencyMs | time limit       |
      | Limits.MaxHeaderBytes   | 20000 | $.Limits.MaxHeaderBytes    | limit of a body   |
      | Limits.IdleTimeoutMs    | 2999  | $.Limits.IdleTimeoutMs     | time for a head   |
      | Tenants.0.Burst         | 0.5   | $.Tenants[0].Burst         | below one request |
      | Tenants.0.Burst         | null  | $.Tenants[0].Burst         | below one request |

    Examples: Accounts, regions and names
      | path                     | value                | place                       | text       |
      | Tenants.1.ApiKeys        | ["secret-a1", "s"]   | $.Tenants[1].ApiKeys        | also at acme |
      | Tenants.1.ApiKeys        | []                   | $.Tenants[1].ApiKeys        | has no key |
      | Tenants.1.ApiKeys        | [""]                 | $.Tenants[1].ApiKeys        | has no key |
      | Tenants                  | []                   | $.Tenants                   | all are refused |
      | Tenants.1.AllowedRegions | ["a", "c"]           | $.Tenants[1].AllowedRegions | region c   |
      | Routes.1.AllowedRegions  | ["A"]                | $.Routes[1].AllowedRegions  | no region is left |
      | Routes.1.MaxAttempt      | 3                    | $.Routes[1].MaxAttempt      | do not read |
      | Limits.MaxBody           | 3                    | $.Limits.MaxBody            | do not read |
      | Quotas                   | 3                    | $.Quotas                    | do not read |
      | Tenants.1.secret-a1      | 1                    | $.Tenants[1]                | do not read |

  Scenario: A fault does not hide others
    Given a configuration with Routes.0.TimeoutMs set to "soon"
    And a configuration with Routes.1.RouteType set to "safe"
    And a configuration with Limits.MaxBodyBytes set to "much"
    And a configuration with Services.3.MaxConns set to 0
    When the configuration is checked
    Then the exit code is 1
    And the findings have an error at $.Routes[0].TimeoutMs with "Expected"
    And the findings have an error at $.Routes[1].RouteType with "Invalid enum"
    And the findings have an error at $.Limits.MaxBodyBytes with "Expected"
    And the findings have a warning at $.Services[3].MaxConns with "no leaf"

  Scenario: A name that stands twice in one object
    Given a configuration that begins with the version 9
    When the configuration is checked
    Then the exit code is 1
    And the findings have an error at $ with "Version stands twice"

  Scenario Outline: Input that cannot be read
    Given a configuration file that is <state>
    When the configuration is checked
    Then the exit code is 2
    And the single line of the error contains "<text>"

    Examples:
      | state     | text        |
      | absent    | cannot read |
      | a folder  | cannot read |
      | no JSON   | not JSON    |
      | not UTF-8 | not JSON    |
      | empty     | not JSON    |
      | too large | 1048576 bytes |

  Scenario: A file with JSON that is no configuration
    Given a configuration file that is a list
    When the configuration is checked
    Then the exit code is 1
    And the findings have an error at $ with "Expected `object`"

  Scenario Outline: A comparison with the version in force
    Given a version in force with the number 2 and the rest of the configuration
    And a configuration with <path> set to <value>
    When the configuration is compared
    Then the first change is <risk> and says "<text>"
    And no key is printed

    Examples:
      | path                     | value            | risk   | text                              |
      | Version                  | 4                | change | Version: 2 -> 4                   |
      | Version                  | 1                | risky  | Version: 2 -> 1                   |
      | Routes.1.PathPrefix      | "/see/"          | risky  | route search.example/visit/: removed |
      | Routes.1.TimeoutMs       | 700              | risky  | TimeoutMs: 800 -> 700             |
      | Routes.1.TimeoutMs       | 900              | change | TimeoutMs: 800 -> 900             |
      | Routes.0.MinCoverage     | 0.9              | risky  | MinCoverage: 0.6 -> 0.9           |
      | Routes.0.Gather          | ["shard-0", "shard-1"] | risky | Gather                       |
      | Routes.1.RouteType       | "non_idempotent" | risky  | RouteType                         |
      | Routes.1.AllowedRegions  | ["a"]            | risky  | AllowedRegions: - -> a            |
      | Routes.1.Anonymous       | true             | change | Anonymous: False -> True          |
      | Services.3.MaxConns      | 30               | risky  | service visits MaxConns: 40 -> 30 |
      | Services.3.WarmupPerS    | 0                | change | WarmupPerS: 3 -> 0                |
      | Services.3.Name          | "see"            | risky  | service visits: removed           |
      | Limits.MaxBodyBytes      | 17000            | risky  | client limits MaxBodyBytes: 18000 -> 17000 |
      | Tenants                  | null             | risky  | account ApiKeys: keys needed -> no keys needed |
      | Tenants.0.RatePerS       | 8                | risky  | account acme RatePerS: 9 -> 8     |
      | Tenants.0.RatePerS       | 0                | change | account acme RatePerS: 9 -> 0     |
      | Tenants.0.ApiKeys        | ["secret-a2", "secret-a3"] | risky | account acme ApiKeys: 1 removed -> 1 added |
      | Tenants.0.ApiKeys        | ["secret-a1", "secret-a2", "x"] | change | account acme ApiKeys: 0 removed -> 1 added |
      | Tenants.1.ApiKeys        | []               | risky  | account umbra: removed            |

  Scenario: A change without a higher version, which daemons ignore
    Given a version in force with the number 3 and the rest of the configuration
    And a configuration with Routes.1.TimeoutMs set to 900
    When the configuration is compared
    Then the first change is risky and says "Version: 3 -> 3"

  Scenario: The same version again
    Given a version in force with the number 3 and the rest of the configuration
    When the configuration is compared
    Then the exit code is 0
    And nothing is found

  Scenario: A version in force that cannot be one
    Given a version in force without a configuration
    When the configuration is compared
    Then the exit code is 2
    And the single line of the error contains "cannot be in force"

  Scenario: Output for programs
    Given a version in force with the number 2 and the rest of the configuration
    And a configuration with Routes.1.TimeoutMs set to 100
    When the configuration is compared for programs
    Then the exit code is 0
    And the object has 1 finding and 2 changes, the first of which is risky
    And no key is printed
