/**
 * @fileoverview What is known against one subject that may crash servers: the
 * crashes at which it was open, and with which prompts.
 */

/** Crashes of servers at about the same time. */
export interface CrashGroup {
  /** Monotonic time in milliseconds. */
  at: number;
  /** Hashes of some prompts, by the incarnation of the server, as `id@start`. */
  servers: Map<string, Set<number>>;
}

/** What is known against one subject. */
export interface Suspicion {
  groups: CrashGroup[];
  workspaces: Set<string>;
  /** Hashes of some of the prompts. */
  prompts: Set<number>;
  /** When routers were first asked for whole answers. */
  suspectedAt?: number;
}

/**
 * Adds a crash at which a subject was open, to the group of the same time if there
 * is one.
 */
export function addCrash(
  {groups}: Suspicion,
  {name, at, prompts}: {name: string; at: number; prompts: readonly number[]},
  sameTimeMilliseconds: number,
): void {
  const known = groups.find(({servers}) => servers.has(name));
  if (known !== undefined) {
    const seen = known.servers.get(name);
    for (const prompt of prompts) seen?.add(prompt);
    return;
  }
  const group = groups.find(
    other => Math.abs(other.at - at) < sameTimeMilliseconds,
  );
  const seen = new Set(prompts);
  if (group === undefined) groups.push({at, servers: new Map([[name, seen]])});
  else group.servers.set(name, seen);
}

/** Names of the crashes at which a subject was open. */
export function crashesOf({groups}: Suspicion): string[] {
  return [...new Set(groups.flatMap(({servers}) => [...servers.keys()]))];
}

/** Whether a subject was open at the times of all crashes of another one. */
export function hasCrashesOf(subject: Suspicion, {groups}: Suspicion): boolean {
  const names = new Set(crashesOf(subject));
  return groups.every(({servers}) =>
    [...servers.keys()].some(name => names.has(name)),
  );
}

/** Whether a part was in all prompts that had another one, at all its crashes. */
export function hasPromptsOf(part: Suspicion, {groups}: Suspicion): boolean {
  const own = new Map(part.groups.flatMap(({servers}) => [...servers]));
  return groups.every(({servers}) =>
    [...servers].every(([name, prompts]) => {
      const ownPrompts = own.get(name);
      return [...prompts].every(prompt => ownPrompts?.has(prompt) === true);
    }),
  );
}

/** Whether one of the servers of a group is also one of another group. */
export function hasServersOf(
  group: CrashGroup,
  {servers}: CrashGroup,
): boolean {
  return [...servers.keys()].some(name => group.servers.has(name));
}
