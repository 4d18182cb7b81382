/** @fileoverview State that the steps of one scenario share. */
import {
  type CallerResponse,
  type ClusterOptions,
  type LoadGenerator,
  Scenario,
} from '@dogwoodtrestle/testkit';
import {type ChangeResult} from '@dogwoodtrestle/schema';
import {
  After,
  setDefaultTimeout,
  setWorldConstructor,
  World,
} from '@cucumber/cucumber';

const stepTimeoutMilliseconds = 60_000;
setDefaultTimeout(stepTimeoutMilliseconds);

/** A top-up that an operator may send again. */
export interface SentTopUp {
  customer: string;
  changeId: string;
  amount: number;
}

/** State of one scenario. */
export class ScenarioWorld extends World {
  current: Scenario | undefined;
  load: LoadGenerator | undefined;
  /** Calls that were started without waiting for their responses. */
  pendingCalls: Array<Promise<CallerResponse>> = [];
  changeResults: ChangeResult[] = [];
  /** Error of the latest top-up, or undefined if it succeeded. */
  topUpError: unknown;
  topUp: SentTopUp | undefined;
  /** Daemon that was paused last, or the leader that others cannot hear. */
  faultyDaemon = '';
  /** Identity of the replica whose disk was lost. */
  lostReplicaId = '';

  /** The running scenario. */
  get scenario(): Scenario {
    if (this.current === undefined) throw new Error('no cluster was started');
    return this.current;
  }

  /** The latest recorded response. */
  get lastResponse(): CallerResponse {
    const response = this.scenario.responses.at(-1);
    if (response === undefined) throw new Error('no call was made');
    return response;
  }

  /** The latest result of a change. */
  get lastChange(): ChangeResult {
    const change = this.changeResults.at(-1);
    if (change === undefined) throw new Error('no change has a result');
    return change;
  }

  /** Names of all daemons of the cluster. */
  get daemonNames(): string[] {
    return [...this.scenario.cluster.daemons.keys()];
  }

  /** Starts the cluster of the scenario. */
  async startCluster(options: Partial<ClusterOptions>): Promise<void> {
    this.current = await Scenario.start(options);
  }
}

setWorldConstructor(ScenarioWorld);

After(async function (this: ScenarioWorld) {
  await this.load?.stop();
  await this.current?.cluster.stop();
});
