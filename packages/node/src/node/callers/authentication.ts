import { inject, injectable } from 'inversify';
import type { Request } from 'restify';
import type { Settings } from '@ragwortrudder/settings';
import { Forbidden } from '../../errors/forbidden.ts';
import { Unauthorized } from '../../errors/unauthorized.ts';
import type { Caller } from '../../types/caller.ts';
import { tokens } from '../../types/tokens.ts';
import { bearerKey } from '../http/bearer-key.ts';
import { KeyRing } from '../http/key-ring.ts';

/** Identifies callers by their API keys. */
@injectable()
export class Authentication {
  readonly #keys: KeyRing<Caller>;

  constructor(@inject(tokens.settings) settings: Settings) {
    const { tenants, operators } = settings.keys;
    this.#keys = new KeyRing<Caller>([
      ...tenants.map(({ tenant, key }) => [key, { kind: 'tenant', tenant }] as const),
      ...operators.map(({ name, key }) => [key, { kind: 'operator', name }] as const),
    ]);
  }

  /**
   * Returns the tenant that sent `request`.
   * @throws {@link Unauthorized} without a valid key, {@link Forbidden} with an operator's key.
   */
  tenant(request: Request): string {
    const caller = this.#identify(request);
    if (caller.kind !== 'tenant') throw new Forbidden('tenant requests');
    return caller.tenant;
  }

  /**
   * Returns the operator that sent `request`.
   * @throws {@link Unauthorized} without a valid key, {@link Forbidden} with a tenant's key.
   */
  operator(request: Request): string {
    const caller = this.#identify(request);
    if (caller.kind !== 'operator') throw new Forbidden('operator calls');
    return caller.name;
  }

  #identify(request: Request): Caller {
    const caller = this.#keys.find(bearerKey(request));
    if (!caller) throw new Unauthorized();
    return caller;
  }
}
