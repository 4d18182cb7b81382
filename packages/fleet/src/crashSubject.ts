/**
 * @fileoverview Subjects that may crash backend servers: a part of prompts, or a
 * request that comes again. One text names either, in reports, blocks and pages.
 */

/** Kind of a subject. */
export type CrashSubjectKind = 'part' | 'request';

const requestPrefix = 'request:';

/** Returns the subject for a request, by the digest of its identity. */
export function requestSubject(digest: string): string {
  return `${requestPrefix}${digest}`;
}

/** Returns the kind of a subject. That of a part is the part's id. */
export function subjectKind(subject: string): CrashSubjectKind {
  return subject.startsWith(requestPrefix) ? 'request' : 'part';
}

/** Returns the name of a subject within its kind. */
export function subjectName(subject: string): string {
  return subject.startsWith(requestPrefix)
    ? subject.slice(requestPrefix.length)
    : subject;
}
