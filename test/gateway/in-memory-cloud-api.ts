import type { CloudApi, DutyTerm, ScaleOrder, UsageReport } from '@ragwortrudder/gateway';

interface CloudCall {
  readonly kind: 'usage' | 'scale';
  readonly term: DutyTerm;
  readonly report?: UsageReport;
  readonly order?: ScaleOrder;
}

/** In-memory {@link CloudApi} that records its calls; for tests. */
export class InMemoryCloudApi implements CloudApi {
  readonly calls: CloudCall[] = [];
  isDown = false;

  reportUsage(term: DutyTerm, report: UsageReport): Promise<void> {
    if (this.isDown) return Promise.reject(new Error('down'));
    this.calls.push({ kind: 'usage', term, report });
    return Promise.resolve();
  }

  orderRunners(term: DutyTerm, order: ScaleOrder): Promise<boolean> {
    if (this.isDown) return Promise.reject(new Error('down'));
    this.calls.push({ kind: 'scale', term, order });
    return Promise.resolve(true);
  }
}
