"""Prepares images, each once for all tasks that wait for it."""

from __future__ import annotations

from collections.abc import Callable, Collection

from tidebend.agent.clock import monotonic_time
from tidebend.agent.images import Images
from tidebend.agent.tasks import FETCHING, Task


class ImagePreparer:
    """Image preparations in progress. For the worker's thread only."""

    def __init__(self, images: Images, launch: Callable[[list[Task]], None]) -> None:
        """Create without preparations; `launch` starts the processes of tasks."""
        self._images = images
        self._launch = launch
        self._preparations: dict[str, Task] = {}  # image -> the task that prepares it

    def has_image(self, task: Task, used_images: set[str]) -> bool:
        """Return whether a task's image is ready or it needs none, without starting a preparation.

        Marks the image as used, which may remove others that aren't in `used_images`.
        """
        description = task.known_description
        if not description.prepare or not description.image:
            return True
        if not self._images.is_ready(description.image):
            return False
        self._images.mark_used(description.image, used_images)
        return True

    def begin(self, task: Task) -> Task | None:
        """Start preparing a task's image unless that is in progress; return the preparing task if its start failed."""
        image = task.known_description.image
        if image in self._preparations:
            return None
        preparing = Task(task.job, task.index, task.attempt, description=task.description, prepares_image=True)
        self._preparations[image] = preparing
        self._launch([preparing])
        return None if preparing.process is not None else preparing

    def finish(self, preparing: Task) -> bool:
        """Record the end of a preparation and return whether the image is ready."""
        image = preparing.known_description.image
        del self._preparations[image]
        if preparing.cause != "done":
            return False
        self._images.mark_ready(image)
        return True

    def cancel_unwanted(self, tasks: Collection[Task]) -> None:
        """Cancel the preparations of images that none of the tasks waits for any more."""
        wanted = {task.description.image for task in tasks if task.state == FETCHING and task.description is not None}
        for image, preparing in self._preparations.items():
            if image not in wanted and preparing.process is not None and preparing.kill_at is None:
                preparing.kill_at = monotonic_time()
                preparing.process.kill()

    def forget_all(self) -> None:
        """Drop all preparations, whose processes have been ended."""
        self._preparations.clear()
