/**
 * @fileoverview A child process whose output goes to a log file and whose
 * readiness is detected by a log line.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';

/** How a process ended. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** Options of a process. */
export interface ProcessOptions {
  name: string;
  /** Path of a Node.js script, and its arguments. */
  command: string[];
  logFile: string;
  readyTimeoutMilliseconds: number;
  /** Environment variables in addition to those of this process. */
  environment?: Readonly<Record<string, string>>;
}

type LogRecord = Record<string, unknown>;

const runningChildren = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** A child process. All running children are killed when this process exits. */
export class ManagedProcess {
  readonly exited: Promise<ProcessExit>;
  private readyLine: LogRecord | undefined;
  private lastLines: string[] = [];
  private hasExited = false;

  private constructor(
    readonly options: ProcessOptions,
    private readonly child: ChildProcess,
  ) {
    runningChildren.add(child);
    const log = createWriteStream(options.logFile, {flags: 'a'});
    for (const stream of [child.stdout, child.stderr]) {
      if (stream === null) continue;
      createInterface({input: stream}).on('line', line => {
        log.write(`${line}\n`);
        this.processLine(line);
      });
    }
    this.exited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        this.hasExited = true;
        runningChildren.delete(child);
        log.end();
        resolve({code, signal});
      });
    });
  }

  /** Starts a process without waiting until it is ready. */
  static start(options: ProcessOptions): ManagedProcess {
    const child = spawn(process.execPath, options.command, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, ...options.environment},
    });
    return new ManagedProcess(options, child);
  }

  /** Process ID, or 0 if the process could not be spawned. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process has not exited. */
  get alive(): boolean {
    return !this.hasExited;
  }

  /**
   * Waits for the log line with the message `ready` and returns it.
   *
   * @throws If the process exits or the timeout passes first.
   */
  async ready(): Promise<LogRecord> {
    const deadline = Date.now() + this.options.readyTimeoutMilliseconds;
    while (this.readyLine === undefined) {
      if (this.hasExited || Date.now() > deadline) throw this.readinessError();
      await sleep(20);
    }
    return this.readyLine;
  }

  /** Sends a signal unless the process has exited. */
  signal(signal: NodeJS.Signals): void {
    if (this.alive) this.child.kill(signal);
  }

  /** Sends SIGTERM, and SIGKILL after the timeout; returns how it ended. */
  async terminate(timeoutMilliseconds: number): Promise<ProcessExit> {
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), timeoutMilliseconds);
    const exit = await this.exited;
    clearTimeout(timer);
    return exit;
  }

  /** Sends SIGKILL, which also ends a process paused by SIGSTOP. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  private processLine(line: string): void {
    this.lastLines = [...this.lastLines.slice(-9), line];
    if (this.readyLine !== undefined || !line.startsWith('{')) return;
    try {
      const value = JSON.parse(line) as LogRecord;
      if (value['msg'] === 'ready') this.readyLine = value;
    } catch {
      // The line is not JSON, so it cannot be the ready line.
    }
  }

  private readinessError(): Error {
    const state = this.hasExited ? 'ended' : 'is not ready in time';
    return new Error(
      `${this.options.name} ${state}; its last lines:\n${this.lastLines.join('\n')}`,
    );
  }
}
