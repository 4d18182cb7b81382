/**
 * @fileoverview A child process with its log in a file, readiness by a log
 * line, and signals by its id.
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

/** What starts a process. */
export interface ProcessOptions {
  name: string;
  /** Script of Node.js, and its arguments. */
  command: string[];
  logFile: string;
  readyTimeoutMilliseconds: number;
  /** Variables besides those of this process. */
  environment?: Readonly<Record<string, string>>;
}

type LogLine = Record<string, unknown>;

const running = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** A started child process. */
export class ManagedProcess {
  readonly exited: Promise<ProcessExit>;
  private readyLine: LogLine | undefined;
  private lastLines: string[] = [];
  private hasExited = false;

  private constructor(
    readonly options: ProcessOptions,
    private readonly child: ChildProcess,
  ) {
    running.add(child);
    const log = createWriteStream(options.logFile, {flags: 'a'});
    for (const stream of [child.stdout, child.stderr]) {
      if (stream === null) continue;
      createInterface({input: stream}).on('line', line => {
        log.write(`${line}\n`);
        this.read(line);
      });
    }
    this.exited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        this.hasExited = true;
        running.delete(child);
        log.end();
        resolve({code, signal});
      });
    });
  }

  /** Starts a process; it need not be ready yet. */
  static start(options: ProcessOptions): ManagedProcess {
    const child = spawn(process.execPath, options.command, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, ...options.environment},
    });
    return new ManagedProcess(options, child);
  }

  /** Id of the process. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process has not ended. */
  get alive(): boolean {
    return !this.hasExited;
  }

  /** Waits for the log line with the message `ready` and returns it. */
  async ready(): Promise<LogLine> {
    const deadline = Date.now() + this.options.readyTimeoutMilliseconds;
    while (this.readyLine === undefined) {
      if (this.hasExited || Date.now() > deadline) throw this.notReady();
      await sleep(20);
    }
    return this.readyLine;
  }

  /** Sends a signal, by the id of this process only. */
  signal(signal: NodeJS.Signals): void {
    if (this.alive) this.child.kill(signal);
  }

  /** Asks for a graceful end and returns how the process ended. */
  async terminate(timeoutMilliseconds: number): Promise<ProcessExit> {
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), timeoutMilliseconds);
    const exit = await this.exited;
    clearTimeout(timer);
    return exit;
  }

  /** Ends the process at once, also when it is stopped. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  private read(line: string): void {
    this.lastLines = [...this.lastLines.slice(-9), line];
    if (this.readyLine !== undefined || !line.startsWith('{')) return;
    try {
      const value = JSON.parse(line) as LogLine;
      if (value['msg'] === 'ready') this.readyLine = value;
    } catch {
      // A line that isn't JSON is only logged.
    }
  }

  private notReady(): Error {
    const state = this.hasExited ? 'ended' : 'is not ready in time';
    return new Error(
      `${this.options.name} ${state}; its last lines:\n${this.lastLines.join('\n')}`,
    );
  }
}
