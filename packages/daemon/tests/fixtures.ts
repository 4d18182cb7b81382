/**
 * @fileoverview Helpers for tests of the daemon.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';

import {
  type Command,
  type Contract,
  createParser,
  type Settings,
} from '@dogwoodtrestle/schema';
import {freePort as findFreePort} from '@dogwoodtrestle/testkit';

import {type Control, createControl} from '../src/control.js';

/** Clean-up actions, run in reverse order of registration. */
export class CleanUps {
  private readonly actions: Array<() => Promise<unknown>> = [];

  add(action: () => Promise<unknown>): void {
    this.actions.unshift(action);
  }

  async run(): Promise<void> {
    for (const action of this.actions.splice(0)) await action();
  }
}

/** Creates a folder that is removed at clean-up. */
export async function temporaryFolder(cleanUps: CleanUps): Promise<string> {
  const folder = await mkdtemp(path.join(os.tmpdir(), 'dogwoodtrestle-'));
  cleanUps.add(() => rm(folder, {recursive: true, force: true}));
  return folder;
}

/** Finds a port on loopback that nothing listens on. */
export function freePort(): Promise<number> {
  return findFreePort('127.0.0.1');
}

export interface InstanceOptions {
  name: string;
  port: number;
  dataFolder?: string;
}

/** Returns the settings of one instance of a small cluster on loopback. */
export function settingsOf(
  options: InstanceOptions,
  initialReplicas: string[],
): Settings {
  return createParser('Settings')({
    cluster: {name: 'barley', keyFile: 'unused', initialReplicas},
    instance: {
      name: options.name,
      failureDomain: `domain-${options.name}`,
      address: '127.0.0.1',
      roles:
        options.dataFolder === undefined ? ['router'] : ['router', 'ledger'],
      ...(options.dataFolder === undefined
        ? {}
        : {dataFolder: options.dataFolder}),
    },
    listeners: {peerPort: options.port},
    ledger: {
      electionTimeoutMilliseconds: 300,
      heartbeatMilliseconds: 50,
      replaceReplicaAfterSeconds: 1,
    },
  });
}

export function contractOf(changes: Partial<Contract> = {}): Contract {
  return createParser('Contract')({
    customer: 'exchange',
    budget: {prepaid: 1000},
    models: [{name: 'summary', inputPrice: 1, outputPrice: 2}],
    workspaces: [{name: 'desk', keyHash: keyHashOf('a')}],
    ...changes,
  });
}

export function keyHashOf(digit: string): string {
  return `sha256:${digit.repeat(64)}`;
}

export function openCommand(
  changes: Partial<Extract<Command, {kind: 'openRequest'}>> = {},
): Command {
  return {
    kind: 'openRequest',
    requestKey: 'r1',
    fingerprint: 'f1',
    customer: 'exchange',
    workspace: 'desk',
    target: {kind: 'model', name: 'summary'},
    maximumCost: 100,
    unknownCost: 0,
    contractVersion: 1,
    holder: 'one',
    idempotent: true,
    traceId: 't1',
    ...changes,
  };
}

/** Starts the control side of a daemon and stops it at clean-up. */
export async function startControl(
  settings: Settings,
  cleanUps: CleanUps,
): Promise<Control> {
  const control = await createControl({
    settings,
    secrets: {clusterKey: 'k', operatorKey: 'operator', backendKey: 'backend'},
  });
  let stopped = false;
  const {stop} = control;
  control.stop = async () => {
    if (stopped) return;
    stopped = true;
    await stop();
  };
  cleanUps.add(() => control.stop());
  await control.start();
  return control;
}

/** Polls until a condition holds; throws after a timeout. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
  timeoutMilliseconds = 8000,
): Promise<void> {
  const deadline = Date.now() + timeoutMilliseconds;
  while (!(await condition())) {
    if (Date.now() > deadline) throw new Error('condition not met');
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}
