Feature: Operation of a small deployment
  One data centre with two nodes and two workers, through the command line.

  Scenario: Drain a worker
    Given a running deployment
    When the operator runs "drain w-01"
    Then the exit code is 0
    And eventually every node shows worker "w-01" as "drained"
    When a job "after-drain" of 2 tasks with 2 processors is submitted
    Then eventually job "after-drain" is finished
    And no task of job "after-drain" ran on "w-01"
    When the operator runs "undrain w-01"
    Then the exit code is 0
    And eventually every node shows worker "w-01" as "live"

  Scenario: Find out why a task waits
    Given a running deployment
    When a job "too-large" of 1 tasks with 24 processors is submitted
    Then eventually "why task sealing.too-large/0" names the reason "needs cpus=24 memory_mb=1000 accelerators=0 on one worker; largest: cpus=16"
    When the operator runs "cancel sealing.too-large"
    Then the exit code is 0

  Scenario: Lose a race for the configuration
    Given a running deployment
    And the operator knows the configuration version
    When another operator runs "set services.certvault.queue 150"
    And the operator runs "set services.certvault.queue 160" at that version
    Then the exit code is 3
    And eventually every node shows "services.certvault.queue" as 150

  Scenario: Record and replay a trace
    Given a running deployment of its own
    When a job "recorded" of 2 tasks with 2 processors is submitted
    And 20 requests are sent
    Then all requests are answered
    And eventually job "recorded" is finished
    When the deployment is stopped
    Then the trace of each node replays without a violation
    And the traces hold 20 requests and 2 finished tasks

  Scenario: Stop a node without losing a request
    Given a running deployment of its own
    When 60 requests are sent while node "yumbo-1" is stopped
    Then all requests are answered
    And requests were in flight when the stop began
    And eventually the other node no longer counts "yumbo-1" as alive
