import type { Configuration } from '../types/configuration.ts';
import type { Team } from '../types/team.ts';

/** Looks up teams by API key. */
export class ApiKeyIndex {
  readonly #teams: ReadonlyMap<string, Team>;

  constructor(configuration: Configuration) {
    this.#teams = new Map(
      configuration.teams.flatMap((team) => team.apiKeys.map((key) => [key, team] as const)),
    );
  }

  find(key: string): Team | undefined {
    return this.#teams.get(key);
  }
}
