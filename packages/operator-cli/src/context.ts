/**
 * @fileoverview The context of a command: global options, the client of the
 * operator API, and output.
 */
import {readFileSync} from 'node:fs';
import os from 'node:os';

import {FleetClient, type FleetInterface} from './client/fleetClient.js';
import {OperatorClient} from './client/operatorClient.js';
import {UsageError} from './errors.js';
import {type ExitCode, exitCodes} from './exitCodes.js';

/** Options of all commands, as commander parses them. */
export interface GlobalOptions {
  url: string[];
  keyFile?: string;
  operator: string;
  /** Milliseconds. */
  timeout: number;
  json?: boolean;
}

/** Output streams and environment variables of the process. */
export interface Host {
  stdout: {write(text: string): unknown};
  stderr: {write(text: string): unknown};
  env: Record<string, string | undefined>;
  /** Interface of a fleet of routers without disks, where one is known. */
  fleet?: FleetInterface;
}

/** Environment variable with the operator key. */
export const keyVariable = 'DOGWOODTRESTLE_OPERATOR_KEY';

/** Environment variable with the base URLs of daemons, separated by commas. */
export const urlVariable = 'DOGWOODTRESTLE_URL';

const defaultUrl = 'http://127.0.0.1:8080';

/** Options, output and exit code of one run of the command line. */
export class Context {
  exitCode: ExitCode = exitCodes.ok;

  constructor(
    readonly host: Host,
    readonly options: GlobalOptions,
  ) {}

  /**
   * Client of the daemons in `urls`.
   *
   * @throws {UsageError} No operator key is given, or its file can't be read.
   */
  get client(): OperatorClient {
    return new OperatorClient({
      urls: this.urls,
      key: this.key,
      timeoutMilliseconds: this.options.timeout,
    });
  }

  /**
   * Interface of the fleet of routers.
   *
   * @throws {UsageError} None is known.
   */
  get fleetInterface(): FleetInterface {
    const {fleet} = this.host;
    if (fleet !== undefined) return fleet;
    throw new UsageError('the interface of a fleet is not part of this build');
  }

  /**
   * Client of the control processes in `urls`, which take no key.
   *
   * @throws {UsageError} The interface of the fleet is not known.
   */
  get fleetClient(): FleetClient {
    return this.fleetClientOf(...this.urls);
  }

  /** Client of the given control processes; see `fleetClient`. */
  fleetClientOf(...urls: string[]): FleetClient {
    return new FleetClient(this.fleetInterface, {
      urls,
      timeoutMilliseconds: this.options.timeout,
    });
  }

  /** Base URLs of the daemons, in the order in which they are tried. */
  get urls(): string[] {
    if (this.options.url.length > 0) return this.options.url;
    return (this.host.env[urlVariable] ?? defaultUrl).split(',');
  }

  /** Name of the operator that is recorded with a change. */
  get operator(): string {
    return this.options.operator;
  }

  /** Writes the value as JSON with `--json`, otherwise the text. */
  print(value: unknown, text: () => string): void {
    if (this.options.json === true) {
      this.host.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
    } else {
      this.host.stdout.write(`${text()}\n`);
    }
  }

  /** Writes a line to the standard error stream. */
  printProgress(text: string): void {
    this.host.stderr.write(`${text}\n`);
  }

  private get key(): string {
    const {keyFile} = this.options;
    if (keyFile !== undefined) return readText(keyFile).trim();
    const key = this.host.env[keyVariable];
    if (key !== undefined) return key;
    throw new UsageError(`give --key-file or set ${keyVariable}`);
  }
}

/**
 * Reads a text file.
 *
 * @param file Path or file descriptor.
 * @throws {UsageError} The file can't be read.
 */
export function readText(file: string | number): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new UsageError(`cannot read ${file}: ${(error as Error).message}`);
  }
}

/** Returns the name of the user who runs the command. */
export function defaultOperator(): string {
  return os.userInfo().username;
}
