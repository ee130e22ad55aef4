/** Requests in progress of each team of a service, and the equal shares that the teams have of them. */
export class TeamShares {
  readonly #inProgress = new Map<string | undefined, number>();
  #total = 0;

  /** Records that a request of a team is in progress. */
  add(team: string | undefined): void {
    this.#inProgress.set(team, (this.#inProgress.get(team) ?? 0) + 1);
    this.#total += 1;
  }

  /** Records that a request of a team has ended. */
  remove(team: string | undefined): void {
    const count = this.#inProgress.get(team);
    if (count === undefined) return;
    if (count > 1) this.#inProgress.set(team, count - 1);
    else this.#inProgress.delete(team);
    this.#total -= 1;
  }

  /** The team has more requests in progress than the mean of all teams that have some. */
  isOverShare(team: string | undefined): boolean {
    return (this.#inProgress.get(team) ?? 0) * this.#inProgress.size > this.#total;
  }
}
