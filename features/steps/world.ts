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

/** A change that an operator may send again. */
export interface SentTopUp {
  customer: string;
  changeId: string;
  amount: number;
}

/** State of one scenario. */
export class ScenarioWorld extends World {
  running: Scenario | undefined;
  load: LoadGenerator | undefined;
  /** Calls that were started and not awaited. */
  started: Array<Promise<CallerResponse>> = [];
  changes: ChangeResult[] = [];
  changeError: unknown;
  topUp: SentTopUp | undefined;
  frozen = '';
  replicaBefore = '';

  /** The running scenario. */
  get scenario(): Scenario {
    if (this.running === undefined) throw new Error('no cluster was started');
    return this.running;
  }

  /** The newest answer. */
  get answer(): CallerResponse {
    const answer = this.scenario.responses.at(-1);
    if (answer === undefined) throw new Error('no call was made');
    return answer;
  }

  /** The newest outcome of a change. */
  get change(): ChangeResult {
    const change = this.changes.at(-1);
    if (change === undefined) throw new Error('no change was answered');
    return change;
  }

  /** Names of all daemons. */
  get daemonNames(): string[] {
    return [...this.scenario.cluster.daemons.keys()];
  }

  /** Starts the cluster of the scenario. */
  async startCluster(options: Partial<ClusterOptions>): Promise<void> {
    this.running = await Scenario.start(options);
  }
}

setWorldConstructor(ScenarioWorld);

After(async function (this: ScenarioWorld) {
  await this.load?.stop();
  await this.running?.cluster.stop();
});
