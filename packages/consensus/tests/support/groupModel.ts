import {
  type ConsensusMessage,
  type ConsensusReply,
  type Entry,
} from '../../src/index.js';

/** Throws as soon as a group of replicas breaks a promise of the log. */
export class GroupModel {
  /** Committed commands in order, and the entries by index. */
  readonly committed: string[] = [];
  readonly acknowledged = new Set<string>();
  private readonly refused = new Set<string>();
  private readonly entries = new Map<number, string>();
  private readonly votes = new Map<string, string>();
  private readonly leaders = new Map<number, string>();
  private newest = {index: 0, timestamp: 0};

  /** Positions below this were acknowledged to a caller. */
  acknowledgedLength = 0;

  onApply(entry: Entry, applied: number, now: number): void {
    const text = JSON.stringify(entry);
    once(this.entries, entry.index, text, 'committed entry');
    check(entry.timestamp <= now, 'ledger time is ahead');
    if (entry.index > this.newest.index) {
      check(entry.timestamp >= this.newest.timestamp, 'ledger time went back');
      this.newest = entry;
    }
    (entry.commands as string[]).forEach((command, offset) => {
      const position = applied + offset;
      this.committed[position] ??= command;
      check(this.committed[position] === command, `position ${position}`);
      check(!this.refused.has(command), `refused ${command} is committed`);
    });
  }

  onRestore(commands: string[]): void {
    commands.forEach((command, position) =>
      check(this.committed[position] === command, 'restored another state'),
    );
  }

  onAcknowledged(command: string, position: number): void {
    check(this.committed[position] === command, 'wrong result');
    this.acknowledged.add(command);
    this.acknowledgedLength = Math.max(this.acknowledgedLength, position + 1);
  }

  onRefused(command: string): void {
    check(!this.committed.includes(command), `committed ${command} is refused`);
    this.refused.add(command);
  }

  onMessage(message: ConsensusMessage): void {
    if (message.kind === 'append' || message.kind === 'snapshot') {
      once(this.leaders, message.term, message.from, 'leader of a term');
    }
    if (message.kind === 'vote' && !message.preVote) {
      const key = `${message.from}/${message.term}`;
      once(this.votes, key, message.from, 'vote');
    }
  }

  onReply(message: ConsensusMessage, reply: ConsensusReply): void {
    if (message.kind !== 'vote' || message.preVote) return;
    if (reply.kind !== 'vote' || !reply.granted) return;
    once(this.votes, `${message.to}/${message.term}`, message.from, 'vote');
  }
}

export function check(holds: boolean, what: string): void {
  if (!holds) throw new Error(`broken: ${what}`);
}

function once<K>(map: Map<K, string>, key: K, value: string, what: string) {
  const known = map.get(key) ?? value;
  map.set(key, known);
  check(known === value, `${what} ${String(key)}: ${known} and ${value}`);
}
