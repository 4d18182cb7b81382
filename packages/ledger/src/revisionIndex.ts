/** @fileoverview Finds the customers whose contract changed since a revision. */

const minimumStaleEntries = 64;

interface RevisionEntry {
  revision: number;
  customer: string;
}

/**
 * Customers by the revision of their newest change. Lookups cost the number
 * of changes since, not the number of customers.
 */
export class RevisionIndex {
  private entries: RevisionEntry[] = [];
  private readonly newest = new Map<string, number>();

  /** Records a change. Revisions must grow. */
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
