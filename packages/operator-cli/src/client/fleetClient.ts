/**
 * @fileoverview Client of the control processes of a fleet of routers without
 * disks. The names and formats that it speaks come from a `FleetInterface`.
 */
import {type ConfigurationFinding} from '@dogwoodtrestle/fleet';
import {
  type Evacuations,
  type FleetConfiguration,
} from '@dogwoodtrestle/schema';

import {OutcomeUnknownError, RefusedError} from '../errors.js';
import {HttpTransport, type TransportOptions} from './httpTransport.js';

/** An operator's document, or all findings of one that can't be read. */
export type FleetDocument =
  | {
      configuration: FleetConfiguration;
      /** Returns the path in the document of a path in the configuration. */
      pathOf: (path: string) => string;
    }
  | {findings: ConfigurationFinding[]};

/** Names and formats by which operators reach a fleet. */
export interface FleetInterface {
  /** Reads a document with a configuration. */
  readConfiguration(text: string): FleetDocument;
  /** Path of the active configuration, as it was sent. */
  configurationPath: string;
  /** Path of the evacuations that a process knows. */
  evacuationsPath: string;
  /** Path of an order to start or finish an evacuation. */
  orderPath(kind: EvacuationOrderKind, failureDomain: string): string;
}

export type EvacuationOrderKind = 'start' | 'finish';

/** What became of an order. */
export type EvacuationOrderResult =
  | {kind: 'acknowledged'; outcome: {kind: EvacuationEffect; revision: number}}
  /** Another order came first; this one has no effect. */
  | {kind: 'superseded'; revision: number};

/** Whether an order changed anything; it is in force in both cases. */
export type EvacuationEffect = 'changed' | 'unchanged';

/** The evacuations that one process knows. */
export interface EvacuationView extends Evacuations {
  /** Of a control process: whether it leads, and so is ahead of the others. */
  isLeader?: boolean;
}

type RefusalKind = 'invalidName' | 'unknownDomain' | 'tooMany';

const refusals: Readonly<Record<RefusalKind, string>> = {
  invalidName: 'the name is empty, too long or has control characters',
  unknownDomain: 'no server, process or list of failure domains has this name',
  tooMany: 'as many failure domains are evacuated as may be at once',
};

/** Results after which the order that they answer takes no effect any more. */
const finalKinds: ReadonlySet<string> = new Set([
  'acknowledged',
  'superseded',
  ...Object.keys(refusals),
]);

/** Client of the control processes of a fleet. */
export class FleetClient {
  private readonly transport: HttpTransport;

  constructor(
    private readonly names: FleetInterface,
    options: Omit<TransportOptions, 'key'>,
  ) {
    this.transport = new HttpTransport(options);
  }

  /** Returns the text of the active configuration. */
  async activeConfiguration(): Promise<string> {
    const path = this.names.configurationPath;
    const value = await this.transport.send({method: 'GET', path});
    return JSON.stringify(value);
  }

  /** Returns the evacuations that one process knows. */
  async evacuations(url: string): Promise<EvacuationView> {
    const path = this.names.evacuationsPath;
    const call = {method: 'GET', path, isResult: isEvacuationView} as const;
    return (await this.transport.sendTo(url, call)) as EvacuationView;
  }

  /**
   * Gives an order to the first control process that has an answer.
   *
   * @throws {RefusedError} It has no effect, and had none at another process.
   * @throws {OutcomeUnknownError} It may have taken effect, or still may.
   * @throws {UnreachableError} It reached no process.
   */
  async orderEvacuation(
    kind: EvacuationOrderKind,
    failureDomain: string,
  ): Promise<EvacuationOrderResult> {
    const {value, unknownAttempts} = await this.transport.exchange({
      method: 'POST',
      path: this.names.orderPath(kind, failureDomain),
      isResult: isFinal,
    });
    const result = value as EvacuationOrderResult | {kind: RefusalKind};
    if (result.kind === 'acknowledged') return result;
    // An earlier attempt may be on its way, whatever became of this one.
    if (unknownAttempts.length > 0) {
      throw new OutcomeUnknownError(
        [...unknownAttempts, `another process: ${result.kind}`].join('\n  '),
      );
    }
    if (result.kind === 'superseded') return result;
    throw new RefusedError(`"${failureDomain}": ${refusals[result.kind]}`);
  }
}

function isFinal(value: unknown): boolean {
  const {kind = '', outcome} = (value ?? {}) as {
    kind?: string;
    outcome?: {kind?: string; revision?: number};
  };
  if (kind !== 'acknowledged') return finalKinds.has(kind);
  return outcome?.kind === 'changed' || outcome?.kind === 'unchanged';
}

function isEvacuationView(value: unknown): boolean {
  const {revision, evacuations} = (value ?? {}) as Partial<EvacuationView>;
  return typeof revision === 'number' && Array.isArray(evacuations);
}
