/** @fileoverview Index of customers by the revision of their last change. */

const minimumStaleEntries = 64;

interface RevisionEntry {
  revision: number;
  customer: string;
}

/**
 * Customers by the revision of their last change. The cost of a lookup
 * depends on the number of changes since, not on the number of customers.
 */
export class RevisionIndex {
  private entries: RevisionEntry[] = [];
  private readonly newest = new Map<string, number>();

  /** Records a change. Revisions must increase. */
  set(customer: string, revision: number): void {
    this.newest.set(customer, revision);
    this.entries.push({customer, revision});
    const limit = this.newest.size * 2 + minimumStaleEntries;
    if (this.entries.length > limit) {
      this.entries = this.entries.filter(entry => this.isCurrent(entry));
    }
  }

  /** Returns the customers changed after a revision, oldest change first. */
  since(revision: number): string[] {
    return this.entries
      .slice(this.firstIndexAfter(revision))
      .filter(entry => this.isCurrent(entry))
      .map(({customer}) => customer);
  }

  private isCurrent({customer, revision}: RevisionEntry): boolean {
    return this.newest.get(customer) === revision;
  }

  private firstIndexAfter(revision: number): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const entry = this.entries[middle];
      if (entry !== undefined && entry.revision <= revision) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
